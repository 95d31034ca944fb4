"""Codecs between wire or file formats and the types of other packages."""
