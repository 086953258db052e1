/**
 * Statistics learned from the traffic: response lengths and latencies.
 */
package org.acaciacourse.core.dispatch.learn;
