package org.acaciacourse.daemon.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The file operations that the store needs, all within one folder. Tests replace it by a
 * disk that fails on request or loses data that was not synced.
 * <p>
 * Not thread safe: used by the replica's thread only.
 */
interface Disk extends Closeable {

	/**
	 * Return the names of all files.
	 * @return the names in any order
	 * @throws IOException if the folder can't be read
	 */
	List<String> list() throws IOException;

	/**
	 * Read a whole file.
	 * @param name the name of the file
	 * @return its content
	 * @throws IOException if it can't be read
	 */
	byte[] read(String name) throws IOException;

	/**
	 * Open a file for appending, creating it if it does not exist.
	 * @param name the name of the file
	 * @return the open file
	 * @throws IOException if it can't be opened
	 */
	AppendFile append(String name) throws IOException;

	/**
	 * Sync a file, whoever has written it.
	 * @param name the name of the file
	 * @throws IOException if the sync failed
	 */
	void sync(String name) throws IOException;

	/**
	 * Truncate a file and sync it.
	 * @param name the name of the file
	 * @param size the new size in bytes
	 * @throws IOException if it can't be truncated or synced
	 */
	void truncate(String name, long size) throws IOException;

	/**
	 * Rename a file atomically, replacing a file of the new name if there is one.
	 * @param from the current name
	 * @param to the new name
	 * @throws IOException if it can't be renamed
	 */
	void rename(String from, String to) throws IOException;

	/**
	 * Delete a file.
	 * @param name the name of the file
	 * @throws IOException if it can't be deleted
	 */
	void delete(String name) throws IOException;

	/**
	 * Sync the folder, so that created, renamed and deleted files are durable.
	 * @throws IOException if the sync failed
	 */
	void syncFolder() throws IOException;

	/**
	 * A file that is open for appending.
	 */
	interface AppendFile extends Closeable {

		/**
		 * Write the whole buffer.
		 * @param content the buffer
		 * @throws IOException if the disk is full or fails
		 */
		void write(ByteBuffer content) throws IOException;

		/**
		 * Sync the data written so far.
		 * @throws IOException if the sync failed; the data may be lost
		 */
		void sync() throws IOException;

	}

}
