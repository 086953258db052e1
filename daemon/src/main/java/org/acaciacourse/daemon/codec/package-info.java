/**
 * Encoding of the core's types in Thrift's compact protocol, for RPC, datagrams and
 * files.
 */
package org.acaciacourse.daemon.codec;
