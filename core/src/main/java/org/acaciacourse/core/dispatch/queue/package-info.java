/**
 * Ordering of waiting requests with fair shares among customers.
 */
package org.acaciacourse.core.dispatch.queue;
