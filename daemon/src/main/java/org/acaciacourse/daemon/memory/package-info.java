/**
 * Keeps what an entry VM holds for callers and endpoints within its memory budget.
 */
package org.acaciacourse.daemon.memory;
