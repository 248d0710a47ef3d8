"""Ids, failures, settings, logs, codecs and histograms that every other library uses."""

import warnings

# `eventlet` announces its retirement on each import. It is the users' house style and stays until
# they change it (docs/design.md says where it is used); the notice tells operators nothing.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
