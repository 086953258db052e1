/**
 * Tests with real processes, and the harness that starts, freezes and ends them.
 */
package org.acaciacourse.bench.process;
