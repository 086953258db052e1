/**
 * Admission of requests by what can still be served: the estimated time until an endpoint
 * answers, the error of that estimate, the decision, and when callers of refused requests
 * are to retry.
 */
package org.acaciacourse.core.admission;
