package org.acaciacourse.daemon.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.Function;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.ReplicaMessage;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.daemon.process.EssentialThread;
import org.acaciacourse.daemon.store.StoreException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * The replica's thread with its bounded queue. Only this thread accesses the replica, the
 * state machine and the store. The first fault ends it: after a failed sync or a broken
 * invariant, the replica could acknowledge entries that are lost.
 * <p>
 * Thread safe.
 */
final class ReplicaLoop {

	private static final Logger LOGGER = LogManager.getLogger(ReplicaLoop.class);

	private static final int QUEUE_CAPACITY = 16_384;

	private static final int MAX_BATCH = 512;

	private static final long TICK_MILLIS = 10;

	private final MpscBlockingConsumerArrayQueue<LoopEvent> queue = new MpscBlockingConsumerArrayQueue<>(
			QUEUE_CAPACITY);

	private final ReplicaDriver driver;

	private final DoubleConsumer commitSeconds;

	private final Consumer<ResultCode> onFault;

	private final Thread thread;

	private volatile boolean stopping;

	/**
	 * Create a loop.
	 * @param name the name of its thread
	 * @param driver the replica with its store
	 * @param commitSeconds receives the seconds from each proposal to its commit
	 * @param onFault receives the code of the fault that ended the loop
	 */
	ReplicaLoop(String name, ReplicaDriver driver, DoubleConsumer commitSeconds, Consumer<ResultCode> onFault) {
		this.driver = driver;
		this.commitSeconds = commitSeconds;
		this.onFault = onFault;
		this.thread = new EssentialThread(this::run, name);
	}

	void start() {
		this.thread.start();
	}

	/**
	 * Stop the loop and wait until its thread has ended.
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	void stop() throws InterruptedException {
		this.stopping = true;
		this.thread.join();
	}

	ReplicaViewMonitor views() {
		return this.driver.views();
	}

	void receive(ReplicaMessage message) {
		// A full queue drops the message; the sender repeats messages that are still
		// needed.
		this.queue.offer(new LoopEvent.Received(message));
	}

	CompletableFuture<CommandResult> propose(LoopEvent.CommandFactory factory) {
		CompletableFuture<CommandResult> result = new CompletableFuture<>();
		long proposedAt = System.nanoTime();
		result.thenRun(() -> this.commitSeconds.accept((System.nanoTime() - proposedAt) / 1e9));
		return enqueue(new LoopEvent.Propose(factory, result), result);
	}

	CompletableFuture<Long> readIndex() {
		CompletableFuture<Long> index = new CompletableFuture<>();
		return enqueue(new LoopEvent.Read(index), index);
	}

	<T> CompletableFuture<T> query(Function<ControlState, T> query) {
		CompletableFuture<T> result = new CompletableFuture<>();
		return enqueue(new LoopEvent.Query<>(query, result), result);
	}

	CompletableFuture<Boolean> join(Member member) {
		CompletableFuture<Boolean> accepted = new CompletableFuture<>();
		return enqueue(new LoopEvent.Join(member, accepted), accepted);
	}

	void transferLeadership() {
		this.queue.offer(new LoopEvent.Transfer());
	}

	private <T> CompletableFuture<T> enqueue(LoopEvent event, CompletableFuture<T> result) {
		if (this.stopping || !this.queue.offer(event)) {
			result.completeExceptionally(new ControlException(ResultCode.NO_QUORUM, Optional.empty()));
		}
		return result;
	}

	private void run() {
		ResultCode end = ResultCode.OK;
		try {
			while (!this.stopping) {
				processBatch();
				this.driver.step(System.nanoTime());
			}
		}
		catch (StoreException ex) {
			LOGGER.fatal("data folder failed; stopping the replica", ex);
			end = ex.code();
		}
		catch (InterruptedException | RuntimeException | Error ex) {
			// Errors such as OutOfMemoryError too: if the thread ended silently, the
			// process would look alive without taking part in the consensus.
			LOGGER.fatal("unexpected fault; stopping the replica", ex);
			end = (ex instanceof OutOfMemoryError) ? ResultCode.OUT_OF_MEMORY : ResultCode.INTERNAL;
		}
		this.stopping = true;
		this.driver.failPending();
		this.queue.drain(ReplicaLoop::rejectStopped);
		if (end != ResultCode.OK) {
			this.onFault.accept(end);
		}
	}

	private static void rejectStopped(LoopEvent event) {
		ControlException stopped = new ControlException(ResultCode.NO_QUORUM, Optional.empty());
		if (event instanceof LoopEvent.Propose propose) {
			propose.result().completeExceptionally(stopped);
		}
		else if (event instanceof LoopEvent.Read read) {
			read.index().completeExceptionally(stopped);
		}
		else if (event instanceof LoopEvent.Query<?> query) {
			query.result().completeExceptionally(stopped);
		}
		else if (event instanceof LoopEvent.Join join) {
			join.accepted().completeExceptionally(stopped);
		}
	}

	private void processBatch() throws InterruptedException {
		LoopEvent event = this.queue.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
		for (int count = 0; event != null && count < MAX_BATCH; count++) {
			this.driver.handle(event, System.nanoTime());
			event = this.queue.poll();
		}
		if (event != null) {
			this.driver.handle(event, System.nanoTime());
		}
	}

}
