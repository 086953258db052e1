/**
 * Experiments in virtual time: the real decisions of several entry VMs before small fake
 * engines.
 */
package org.acaciacourse.bench.experiment;
