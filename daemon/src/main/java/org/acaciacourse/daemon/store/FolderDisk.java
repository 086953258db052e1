package org.acaciacourse.daemon.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

import org.acaciacourse.core.code.ResultCode;

/**
 * A folder of the file system, locked against other processes while it is open. Two
 * processes on one folder would interleave their records, and both would vote under the
 * same identity.
 * <p>
 * Not thread safe: used by the replica's thread only.
 */
final class FolderDisk implements Disk {

	private static final String LOCK = "lock";

	private final Path folder;

	private final FileChannel lock;

	private FolderDisk(Path folder, FileChannel lock) {
		this.folder = folder;
		this.lock = lock;
	}

	/**
	 * Open and lock a folder, creating it if it does not exist.
	 * @param folder the folder
	 * @return the locked folder
	 */
	static FolderDisk open(Path folder) {
		try {
			Files.createDirectories(folder);
			sync(folder.toAbsolutePath().getParent());
			FileChannel channel = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE,
					StandardOpenOption.WRITE);
			if (!tryLock(channel)) {
				channel.close();
				throw new StoreException(ResultCode.DATA_FOLDER_LOCKED, folder.toString(), null);
			}
			return new FolderDisk(folder, channel);
		}
		catch (IOException ex) {
			throw new StoreException(ResultCode.DISK_FAILED, "cannot open data folder " + folder, ex);
		}
	}

	private static boolean tryLock(FileChannel channel) throws IOException {
		try {
			FileLock lock = channel.tryLock();
			return lock != null;
		}
		catch (OverlappingFileLockException ex) {
			return false;
		}
	}

	@Override
	public List<String> list() throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			return files.map((file) -> file.getFileName().toString()).filter((name) -> !name.equals(LOCK)).toList();
		}
	}

	@Override
	public byte[] read(String name) throws IOException {
		return Files.readAllBytes(this.folder.resolve(name));
	}

	@Override
	public AppendFile append(String name) throws IOException {
		FileChannel channel = FileChannel.open(this.folder.resolve(name), StandardOpenOption.CREATE,
				StandardOpenOption.APPEND);
		return new ChannelFile(channel);
	}

	@Override
	public void sync(String name) throws IOException {
		try (FileChannel channel = FileChannel.open(this.folder.resolve(name), StandardOpenOption.WRITE)) {
			channel.force(true);
		}
	}

	@Override
	public void truncate(String name, long size) throws IOException {
		try (FileChannel channel = FileChannel.open(this.folder.resolve(name), StandardOpenOption.WRITE)) {
			channel.truncate(size);
			channel.force(true);
		}
	}

	@Override
	public void rename(String from, String to) throws IOException {
		Files.move(this.folder.resolve(from), this.folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
	}

	@Override
	public void delete(String name) throws IOException {
		Files.delete(this.folder.resolve(name));
	}

	@Override
	public void syncFolder() throws IOException {
		sync(this.folder);
	}

	private static void sync(Path folder) throws IOException {
		try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

	@Override
	public void close() throws IOException {
		this.lock.close();
	}

	/** A file of the folder. */
	private record ChannelFile(FileChannel channel) implements AppendFile {

		@Override
		public void write(ByteBuffer content) throws IOException {
			while (content.hasRemaining()) {
				this.channel.write(content);
			}
		}

		@Override
		public void sync() throws IOException {
			this.channel.force(false);
		}

		@Override
		public void close() throws IOException {
			this.channel.close();
		}

	}

}
