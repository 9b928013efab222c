"""Latency histograms of constant size."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Self

from hdrh.codec import HdrCookieException, HdrHistogramSettingsException, HdrLengthException
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
MAX_ENCODED_LENGTH = 16_384
PERCENTILES = (50, 95, 99)

#: What the library raises for text that is not a histogram.
DECODE_ERRORS = (
    HdrCookieException,
    HdrHistogramSettingsException,
    HdrLengthException,
    IndexError,
    RuntimeError,
    ValueError,
    zlib.error,
)


@dataclass(frozen=True, slots=True)
class Summary:
    """What a histogram shows, in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class Histogram:
    """Durations between a microsecond and ten minutes."""

    def __init__(self, recorded: HdrHistogram | None = None) -> None:
        """Create the histogram.

        :param recorded: the durations at first, in microseconds.
        """
        self.recorded = recorded or HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add a duration; one out of range counts as the nearest in range.

        :param seconds: the duration.
        """
        microseconds = round(seconds * US_PER_S)
        self.recorded.record_value(min(max(microseconds, LOWEST_US), HIGHEST_US))

    def merge(self, other: Histogram) -> None:
        """Add all durations of another histogram.

        :param other: the other histogram, which stays as it is.
        """
        self.recorded.add(other.recorded)

    def copy(self) -> Histogram:
        """Return a copy.

        :return: a histogram with the same durations.
        """
        duplicate = Histogram()
        duplicate.merge(self)
        return duplicate

    def summary(self) -> Summary:
        """Return the count and the percentiles.

        :return: the summary, all 0 if nothing was recorded.
        """
        p50, p95, p99 = (self.percentile(percent) for percent in PERCENTILES)
        return Summary(
            count=self.recorded.get_total_count(),
            p50_s=p50,
            p95_s=p95,
            p99_s=p99,
            max_s=self.recorded.get_max_value() / US_PER_S,
        )

    def percentile(self, percent: float) -> float:
        """Return the duration that a share of all durations does not exceed.

        :param percent: the share, 0 to 100.
        :return: seconds.
        """
        return float(self.recorded.get_value_at_percentile(percent)) / US_PER_S

    def encode(self) -> str:
        """Return the compressed form of the HdrHistogram library.

        :return: base64 text.
        """
        encoded: bytes = self.recorded.encode()
        return encoded.decode('ascii')

    @classmethod
    def decode(cls, text: str) -> Self:
        """Read the compressed form.

        :param text: base64 text.
        :return: the histogram.
        :raises ValueError: if it is not a histogram of this range.
        """
        if len(text) > MAX_ENCODED_LENGTH:
            raise ValueError('the histogram is too long')
        try:
            recorded = HdrHistogram.decode(text)
        except DECODE_ERRORS as error:
            raise ValueError(f'not a histogram: {error}') from None
        if recorded.highest_trackable_value != HIGHEST_US:
            raise ValueError('a histogram of another range')
        return cls(recorded)


__all__ = (
    'Histogram',
    'Summary',
)
