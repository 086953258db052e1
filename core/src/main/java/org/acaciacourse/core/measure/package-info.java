/**
 * Statistics of results: confidence intervals of proportions, retry budgets in sliding
 * windows.
 */
package org.acaciacourse.core.measure;
