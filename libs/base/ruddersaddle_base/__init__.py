"""Ids, failures, settings, logs, codecs and histograms that every other library uses."""

import warnings

# `eventlet` prints a deprecation warning on each import. The users require it, and operators can't
# act on the warning.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
