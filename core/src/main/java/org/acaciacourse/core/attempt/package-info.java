/**
 * The life of one routed request as a state machine: how attempts end, what follows from
 * it, and what may be told to the caller.
 */
package org.acaciacourse.core.attempt;
