/**
 * Budgets that keep retries from amplifying an overload.
 */
package org.acaciacourse.core.dispatch.retry;
