/**
 * The validated manifest: classes, endpoints, customers, services and policies.
 */
package org.acaciacourse.core.model;
