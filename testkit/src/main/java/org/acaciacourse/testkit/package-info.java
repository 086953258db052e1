/**
 * Processes and connections for tests that break them: real programs that are killed,
 * stopped and frozen by signals, and a proxy that cuts and silences connections.
 */
package org.acaciacourse.testkit;
