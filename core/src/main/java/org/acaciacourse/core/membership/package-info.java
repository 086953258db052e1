/**
 * Which VMs and endpoints are live, and which entry VM works with which endpoints.
 */
package org.acaciacourse.core.membership;
