/**
 * Bound on the memory of an entry VM: what draws on it, and which responses that their
 * callers do not read are paused or ended.
 */
package org.acaciacourse.core.memory;
