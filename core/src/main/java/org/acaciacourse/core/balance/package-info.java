/**
 * Choice of an endpoint for a routed request: what an entry VM knows of each endpoint,
 * the balancer, and the budget for retries.
 */
package org.acaciacourse.core.balance;
