package org.acaciacourse.core.balance;

import java.util.List;

import io.vavr.control.Try;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PrefixCacheModelTests {

	private static final PromptShape.Part TEMPLATE = new PromptShape.Part(1, 2_000);

	private static final PromptShape.Part CASE = new PromptShape.Part(2, 4_000);

	private static final PromptShape.Part OWN = new PromptShape.Part(3, 1_000);

	private final PrefixCacheModel cache = new PrefixCacheModel();

	private static PromptShape prompt(PromptShape.Part... parts) {
		return new PromptShape(10_000, 100, List.of(parts));
	}

	@Test
	void onlyLeadingPartsAreCached() {
		this.cache.recordUse(CASE);
		assertThat(this.cache.cachedTokens(prompt(TEMPLATE, CASE, OWN))).isEqualTo(0);
		this.cache.recordUse(TEMPLATE);
		assertThat(this.cache.cachedTokens(prompt(TEMPLATE, CASE, OWN))).isEqualTo(6_000);
		assertThat(this.cache.cachedTokens(prompt(TEMPLATE, OWN))).isEqualTo(2_000);
	}

	@Test
	void ownPartOfARequestIsNotCachedForOthers() {
		this.cache.recordUse(OWN);
		assertThat(this.cache.cachedTokens(prompt(OWN))).isEqualTo(0);
	}

	@Test
	void leastRecentlyUsedPartIsEvicted() {
		this.cache.engineCacheTokens(20_000);
		this.cache.recordUse(TEMPLATE);
		this.cache.recordUse(CASE);
		this.cache.recordUse(TEMPLATE);
		this.cache.recordUse(new PromptShape.Part(9, 7_000));
		assertThat(this.cache.cachedTokens(prompt(TEMPLATE, OWN))).isEqualTo(2_000);
		assertThat(this.cache.cachedTokens(prompt(CASE, OWN))).isEqualTo(0);
	}

	// Guards against callers who name many parts without tokens, which would be kept for
	// good.
	@Test
	void partsWithoutTokensAreEvicted() {
		PromptShape.Part first = new PromptShape.Part(100, 0);
		this.cache.recordUse(first);
		for (int i = 1; i < PrefixCacheModel.MAX_PARTS; i++) {
			this.cache.recordUse(new PromptShape.Part(100 + i, 0));
		}
		this.cache.recordUse(TEMPLATE);
		assertThat(this.cache.cachedTokens(prompt(first, TEMPLATE, OWN))).isEqualTo(0);
		assertThat(this.cache.cachedTokens(prompt(TEMPLATE, OWN))).isEqualTo(2_000);
	}

	@Test
	void partLargerThanTheCacheIsKeptAlone() {
		this.cache.engineCacheTokens(4_000);
		this.cache.recordUse(TEMPLATE);
		this.cache.recordUse(CASE);
		assertThat(this.cache.cachedTokens(prompt(CASE, OWN))).isEqualTo(4_000);
		assertThat(this.cache.cachedTokens(prompt(TEMPLATE, OWN))).isEqualTo(0);
	}

	// Without the bound the sum overflows, and nothing is evicted any more.
	@Test
	void invalidPartSizesDoNotCorruptTheSum() {
		this.cache.engineCacheTokens(8_000);
		this.cache.recordUse(new PromptShape.Part(8, Long.MAX_VALUE));
		assertThat(Try.of(() -> new PromptShape.Part(9, Long.MIN_VALUE)).isFailure()).isTrue();
		this.cache.recordUse(TEMPLATE);
		this.cache.recordUse(CASE);
		assertThat(this.cache.cachedTokens(prompt(CASE, OWN))).isEqualTo(4_000);
		assertThat(this.cache.cachedTokens(prompt(TEMPLATE, OWN))).isEqualTo(0);
	}

	@Test
	void restartedEngineHasAnEmptyCache() {
		this.cache.recordUse(TEMPLATE);
		this.cache.clear();
		assertThat(this.cache.cachedTokens(prompt(TEMPLATE, OWN))).isEqualTo(0);
	}

}
