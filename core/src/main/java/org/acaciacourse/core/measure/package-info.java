/**
 * Statistics of results: intervals of shares.
 */
package org.acaciacourse.core.measure;
