package org.acaciacourse.daemon.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An in-memory disk that loses unsynced data in a simulated crash and fails on request.
 */
public final class MemoryDisk implements Disk {

	private Map<String, Content> files = new HashMap<>();

	private Map<String, Content> durableFiles = new HashMap<>();

	private volatile int operationsUntilFailure = Integer.MAX_VALUE;

	private volatile int operations;

	private volatile int syncs;

	/** Fail all operations after the given number of further ones. */
	public void failAfter(int count) {
		this.operationsUntilFailure = this.operations + count;
	}

	/** Open a store on this disk. */
	public ReplicaStore openStore() {
		return ReplicaStore.open(this, 1 << 20);
	}

	public int syncs() {
		return this.syncs;
	}

	int operations() {
		return this.operations;
	}

	/** Return a working disk that holds only the data that was synced. */
	MemoryDisk crash() {
		MemoryDisk after = new MemoryDisk();
		this.durableFiles.forEach((name, content) -> {
			Content kept = new Content();
			kept.bytes.writeBytes(content.durable);
			kept.durable = content.durable;
			after.files.put(name, kept);
		});
		after.durableFiles = new HashMap<>(after.files);
		return after;
	}

	void overwrite(String name, byte[] bytes) {
		Content content = new Content();
		content.bytes.writeBytes(bytes);
		content.durable = bytes;
		this.files.put(name, content);
		this.durableFiles.put(name, content);
	}

	void remove(String name) {
		this.files.remove(name);
		this.durableFiles.remove(name);
	}

	private void countOperation() throws IOException {
		if (this.operations++ >= this.operationsUntilFailure) {
			throw new IOException("No space left on device");
		}
	}

	@Override
	public List<String> list() {
		return this.files.keySet().stream().sorted().toList();
	}

	@Override
	public byte[] read(String name) {
		return this.files.get(name).bytes.toByteArray();
	}

	@Override
	public AppendFile append(String name) throws IOException {
		countOperation();
		Content content = this.files.computeIfAbsent(name, (n) -> new Content());
		return new AppendFile() {

			@Override
			public void write(ByteBuffer bytes) throws IOException {
				countOperation();
				content.bytes.write(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
			}

			@Override
			public void sync() throws IOException {
				countOperation();
				MemoryDisk.this.syncs++;
				content.durable = content.bytes.toByteArray();
			}

			@Override
			public void close() {
			}

		};
	}

	@Override
	public void sync(String name) throws IOException {
		countOperation();
		this.syncs++;
		Content content = this.files.get(name);
		content.durable = content.bytes.toByteArray();
	}

	@Override
	public void truncate(String name, long size) throws IOException {
		countOperation();
		overwrite(name, Arrays.copyOf(read(name), (int) size));
	}

	@Override
	public void rename(String from, String to) throws IOException {
		countOperation();
		this.files.put(to, this.files.remove(from));
	}

	@Override
	public void delete(String name) throws IOException {
		countOperation();
		this.files.remove(name);
	}

	@Override
	public void syncFolder() throws IOException {
		countOperation();
		this.durableFiles = new HashMap<>(this.files);
	}

	@Override
	public void close() {
	}

	/** A file's content as written and as last synced. */
	private static final class Content {

		private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

		private byte[] durable = {};

	}

}
