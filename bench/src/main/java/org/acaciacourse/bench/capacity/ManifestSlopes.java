package org.acaciacourse.bench.capacity;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.function.Supplier;

import com.beust.jcommander.Parameters;
import org.acaciacourse.bench.cli.BenchCommand;
import org.acaciacourse.core.manifest.ManifestDelta;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.core.model.Manifest;

/**
 * Measures what a change of configuration costs an entry VM, against the number of
 * endpoints and of customers. Times are the median of {@value #ROUNDS} rounds on one
 * thread after as many to warm up; memory is the used heap after a collection.
 * <p>
 * Not thread safe: made for one run.
 */
@Parameters(commandNames = "manifest", commandDescription = "Measure what a change of configuration costs")
public final class ManifestSlopes implements BenchCommand {

	private static final int ROUNDS = 15;

	private static final int MODELS = 34;

	private PrintStream out;

	@Override
	public int run(PrintStream results) {
		this.out = results;
		this.out.println("endpoints customers  digest_ms parse_ms delta_ms apply_delta_ms document_KB manifest_KB");
		for (int endpoints : new int[] { 13, 1_500, 3_000, 6_000, 12_000 }) {
			measure(endpoints, 1_700);
		}
		for (int customers : new int[] { 10, 425, 850, 1_275, 1_700 }) {
			measure(1_000, customers);
		}
		return 0;
	}

	private void measure(int endpoints, int customers) {
		ManifestDocument document = SampleDocuments.of(1, endpoints, customers, MODELS);
		ManifestDocument next = SampleDocuments.of(2, endpoints, customers, MODELS);
		ManifestDelta delta = document.deltaTo(next);
		double digest = medianMillis(document::digest);
		double parse = medianMillis(() -> ManifestParser.manifest(document).get());
		double compute = medianMillis(() -> document.deltaTo(next));
		Manifest manifest = ManifestParser.manifest(document).get();
		double apply = medianMillis(() -> ManifestParser.manifest(document.with(delta), manifest, document).get());
		long documentSize = retained(() -> SampleDocuments.of(1, endpoints, customers, MODELS));
		long manifestSize = retained(() -> ManifestParser.manifest(document).get());
		this.out.printf("%9d %9d %10.2f %8.2f %8.2f %14.2f %11d %11d%n", endpoints, customers, digest, parse, compute,
				apply, documentSize >> 10, manifestSize >> 10);
	}

	private static double medianMillis(Supplier<?> work) {
		for (int i = 0; i < ROUNDS; i++) {
			work.get();
		}
		long[] nanos = new long[ROUNDS];
		for (int i = 0; i < ROUNDS; i++) {
			long start = System.nanoTime();
			work.get();
			nanos[i] = System.nanoTime() - start;
		}
		Arrays.sort(nanos);
		return nanos[ROUNDS / 2] / 1e6;
	}

	private static long retained(Supplier<?> make) {
		long before = usedHeap();
		Object made = make.get();
		long after = usedHeap();
		if (made == null) {
			throw new IllegalStateException("nothing was made");
		}
		return after - before;
	}

	private static long usedHeap() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
