/**
 * Selection of an endpoint for a routed request: the load and health of each endpoint as
 * known to an entry VM, the balancer, and the retry budget.
 */
package org.acaciacourse.core.balance;
