/**
 * Tells from the decision logs of all VMs which requests were lost, when and why.
 */
package org.acaciacourse.bench.losses;
