import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what happened, with the seconds since the start. */
final class Record implements AutoCloseable {

	final long start = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	double seconds() {
		return (System.nanoTime() - this.start) / 1e9;
	}

	synchronized void line(String text) {
		this.out.printf("%8.3f %s%n", seconds(), text);
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
