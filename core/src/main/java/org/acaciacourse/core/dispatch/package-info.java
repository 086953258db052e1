/**
 * Decisions of an entry VM: admission, order, choice of endpoint, retry and refusal.
 */
package org.acaciacourse.core.dispatch;
