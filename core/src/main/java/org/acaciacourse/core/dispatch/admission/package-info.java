/**
 * Limits of customers.
 */
package org.acaciacourse.core.dispatch.admission;
