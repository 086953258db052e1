/**
 * Stand-in for a model engine and for a plain service, used by tests, benchmarks and the
 * embedded default. The router itself does not depend on it.
 */
package org.acaciacourse.engine;
