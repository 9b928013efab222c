"""Latency histograms of bounded size."""

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

#: Errors that the HdrHistogram library raises for invalid input.
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
    """Number of recorded durations and their percentiles in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class Histogram:
    """Histogram of durations between a microsecond and ten minutes."""

    def __init__(self, recorded: HdrHistogram | None = None) -> None:
        """Create the histogram.

        :param recorded: initial content in microseconds, empty by default.
        """
        self.recorded = recorded or HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add a duration, clamped to the range of the histogram.

        :param seconds: duration in seconds.
        """
        microseconds = round(seconds * US_PER_S)
        self.recorded.record_value(min(max(microseconds, LOWEST_US), HIGHEST_US))

    def merge(self, other: Histogram) -> None:
        """Add all durations of another histogram.

        :param other: the other histogram, which is not changed.
        """
        self.recorded.add(other.recorded)

    def copy(self) -> Histogram:
        """Return an independent copy.

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
        """Return a percentile of the durations.

        :param percent: the percentile, 0 to 100.
        :return: duration in seconds.
        """
        return float(self.recorded.get_value_at_percentile(percent)) / US_PER_S

    def encode(self) -> str:
        """Encode the histogram in the compressed format of the HdrHistogram library.

        :return: base64 text.
        """
        encoded: bytes = self.recorded.encode()
        return encoded.decode('ascii')

    @classmethod
    def decode(cls, text: str) -> Self:
        """Decode a histogram from the compressed format.

        :param text: base64 text.
        :return: the histogram.
        :raises ValueError: if the text is not a histogram or has another range.
        """
        if len(text) > MAX_ENCODED_LENGTH:
            raise ValueError('the encoded histogram is too long')
        try:
            recorded = HdrHistogram.decode(text)
        except DECODE_ERRORS as error:
            raise ValueError(f'the histogram cannot be decoded: {error}') from None
        if recorded.highest_trackable_value != HIGHEST_US:
            raise ValueError('the histogram has another range')
        return cls(recorded)


__all__ = (
    'Histogram',
    'Summary',
)
