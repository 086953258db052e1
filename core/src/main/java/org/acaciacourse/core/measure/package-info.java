/**
 * Statistics: confidence intervals of proportions, retry budgets in sliding windows, sums
 * that decay.
 */
package org.acaciacourse.core.measure;
