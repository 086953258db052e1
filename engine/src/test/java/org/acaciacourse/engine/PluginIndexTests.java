package org.acaciacourse.engine;

import java.io.IOException;
import java.net.URL;
import java.util.Collections;
import java.util.List;
import java.util.Set;

import org.apache.logging.log4j.core.config.plugins.processor.PluginCache;
import org.apache.logging.log4j.core.config.plugins.processor.PluginProcessor;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the merged index of Log4j's plugins.
 */
class PluginIndexTests {

	private static PluginCache load(List<URL> indexes) throws IOException {
		PluginCache cache = new PluginCache();
		cache.loadCacheFiles(Collections.enumeration(indexes));
		return cache;
	}

	@Nested
	class Merged {

		/*
		 * The runnable jar can hold one index. With that of one library alone its start
		 * prints errors and no log line is written. The committed index holds all that
		 * the libraries' own ones hold; after a change of version it is to be written
		 * again with PluginCache.writeCache.
		 */
		@Test
		void holdsThePluginsOfAllLibraries() throws IOException {
			List<URL> indexes = Collections
				.list(getClass().getClassLoader().getResources(PluginProcessor.PLUGIN_CACHE_FILE));
			List<URL> own = indexes.stream().filter((url) -> url.getPath().contains("classes/META-INF")).toList();
			assertThat(own).hasSize(1);
			assertThat(indexes).hasSize(3);
			assertThat(load(own).getAllCategories().keySet())
				.containsExactlyElementsIn(load(indexes).getAllCategories().keySet());
			load(indexes).getAllCategories()
				.forEach((category, plugins) -> assertThat(own(own, category))
					.containsExactlyElementsIn(plugins.keySet()));
		}

		private Set<String> own(List<URL> own, String category) {
			try {
				return load(own).getCategory(category).keySet();
			}
			catch (IOException ex) {
				throw new AssertionError(ex);
			}
		}

	}

}
