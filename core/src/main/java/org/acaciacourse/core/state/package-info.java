/**
 * The replicated state machine: configuration, leases, claims and crash reports.
 */
package org.acaciacourse.core.state;
