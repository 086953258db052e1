/**
 * Scheduling decisions of an entry VM: admission, ordering, endpoint selection, retry and
 * refusal.
 */
package org.acaciacourse.core.dispatch;
