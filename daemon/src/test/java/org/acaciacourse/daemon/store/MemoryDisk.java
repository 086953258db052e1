package org.acaciacourse.daemon.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A disk in memory that forgets on a crash what was not synced, and fails when told to.
 */
public final class MemoryDisk implements Disk {

	private Map<String, Content> names = new HashMap<>();

	private Map<String, Content> durableNames = new HashMap<>();

	private volatile int operationsUntilFailure = Integer.MAX_VALUE;

	private volatile int operations;

	private volatile int syncs;

	/** Let the operation after so many more fail, and all that follow. */
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

	/** Lose power: only what was synced is left, and the disk works again. */
	MemoryDisk crash() {
		MemoryDisk after = new MemoryDisk();
		this.durableNames.forEach((name, content) -> {
			Content kept = new Content();
			kept.bytes.writeBytes(content.durable);
			kept.durable = content.durable;
			after.names.put(name, kept);
		});
		after.durableNames = new HashMap<>(after.names);
		return after;
	}

	void overwrite(String name, byte[] bytes) {
		Content content = new Content();
		content.bytes.writeBytes(bytes);
		content.durable = bytes;
		this.names.put(name, content);
		this.durableNames.put(name, content);
	}

	void remove(String name) {
		this.names.remove(name);
		this.durableNames.remove(name);
	}

	private void operate() throws IOException {
		if (this.operations++ >= this.operationsUntilFailure) {
			throw new IOException("No space left on device");
		}
	}

	@Override
	public List<String> list() {
		return this.names.keySet().stream().sorted().toList();
	}

	@Override
	public byte[] read(String name) {
		return this.names.get(name).bytes.toByteArray();
	}

	@Override
	public AppendFile append(String name) throws IOException {
		operate();
		Content content = this.names.computeIfAbsent(name, (n) -> new Content());
		return new AppendFile() {

			@Override
			public void write(ByteBuffer bytes) throws IOException {
				operate();
				content.bytes.write(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
			}

			@Override
			public void sync() throws IOException {
				operate();
				MemoryDisk.this.syncs++;
				content.durable = content.bytes.toByteArray();
			}

			@Override
			public void close() {
			}

		};
	}

	@Override
	public void truncate(String name, long size) throws IOException {
		operate();
		overwrite(name, Arrays.copyOf(read(name), (int) size));
	}

	@Override
	public void rename(String from, String to) throws IOException {
		operate();
		this.names.put(to, this.names.remove(from));
	}

	@Override
	public void delete(String name) throws IOException {
		operate();
		this.names.remove(name);
	}

	@Override
	public void syncFolder() throws IOException {
		operate();
		this.durableNames = new HashMap<>(this.names);
	}

	@Override
	public void close() {
	}

	/** A file's content, with and without what was not synced. */
	private static final class Content {

		private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

		private byte[] durable = {};

	}

}
