/**
 * Encoding of the core's types with Thrift's compact protocol, for the wire and the disk.
 */
package org.acaciacourse.daemon.codec;
