/**
 * Command line of the experiments and the load tool.
 */
package org.acaciacourse.bench.cli;
