"""Names, formats and APIs of the hosting platform; contains no policy."""
