/**
 * Health, metrics and traces of a daemon.
 */
package org.acaciacourse.daemon.telemetry;
