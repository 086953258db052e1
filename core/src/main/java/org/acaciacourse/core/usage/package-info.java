/**
 * Usage reports: entry VMs count by customer the requests that endpoints began, control
 * VMs add the counts up, and one of them at a time reports each window once it is fixed
 * in the replicated state.
 */
package org.acaciacourse.core.usage;
