/**
 * Checks of delivery: what callers were told against what endpoints ran.
 */
package org.acaciacourse.bench.check;
