/**
 * What is learnt from the traffic: output lengths and latencies.
 */
package org.acaciacourse.core.dispatch.learn;
