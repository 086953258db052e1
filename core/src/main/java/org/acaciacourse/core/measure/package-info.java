/**
 * Statistics of results: intervals of shares, retries in sliding windows.
 */
package org.acaciacourse.core.measure;
