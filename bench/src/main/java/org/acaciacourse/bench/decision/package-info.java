/**
 * Benchmarks of single decisions.
 */
package org.acaciacourse.bench.decision;
