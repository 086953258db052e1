/**
 * The replicated state machine: manifest, leases, idempotency claims and crash reports.
 */
package org.acaciacourse.core.state;
