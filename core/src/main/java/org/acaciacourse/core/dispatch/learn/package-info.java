/**
 * Statistics learned from the traffic: answer lengths and latencies.
 */
package org.acaciacourse.core.dispatch.learn;
