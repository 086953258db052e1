package org.acaciacourse.daemon.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The few file operations that the store needs, all within one folder. Tests put a disk
 * in its place that fails or forgets what was not synced.
 * <p>
 * Not thread safe: the replica's thread calls it.
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
	 * Open a file at its end, and make it if there is none.
	 * @param name the name of the file
	 * @return the open file
	 * @throws IOException if it can't be opened
	 */
	AppendFile append(String name) throws IOException;

	/**
	 * Cut a file and sync it.
	 * @param name the name of the file
	 * @param size the bytes that stay
	 * @throws IOException if it can't be cut or synced
	 */
	void truncate(String name, long size) throws IOException;

	/**
	 * Rename a file in one step, over one of the new name if there is one.
	 * @param from the present name
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
	 * Sync the folder, so that new, renamed and deleted names are durable.
	 * @throws IOException if the sync failed
	 */
	void syncFolder() throws IOException;

	/**
	 * A file open at its end.
	 */
	interface AppendFile extends Closeable {

		/**
		 * Write all of a buffer.
		 * @param content the buffer
		 * @throws IOException if the disk is full or fails
		 */
		void write(ByteBuffer content) throws IOException;

		/**
		 * Sync what was written.
		 * @throws IOException if the sync failed; what was written may be lost
		 */
		void sync() throws IOException;

	}

}
