/**
 * Orders of endpoints: which kind of them a pool has in each data centre.
 */
package org.acaciacourse.core.scaling;
