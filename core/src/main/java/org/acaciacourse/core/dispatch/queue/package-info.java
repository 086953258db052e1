/**
 * Order of waiting requests: fair shares among customers.
 */
package org.acaciacourse.core.dispatch.queue;
