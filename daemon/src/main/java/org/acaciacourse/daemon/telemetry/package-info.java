/**
 * Health, metrics, traces and logs of a daemon.
 */
package org.acaciacourse.daemon.telemetry;
