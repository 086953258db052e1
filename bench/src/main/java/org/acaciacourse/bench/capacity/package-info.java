/**
 * Measures the slopes that the capacity page is worked out from.
 */
package org.acaciacourse.bench.capacity;
