/**
 * The state machine of one routed request: the end of each attempt, whether another
 * attempt follows, and which result is reported to the caller.
 */
package org.acaciacourse.core.attempt;
