package journal

// SetWriteRate changes the limit of creates a second, for example when the number of daemons changes. Zero sets no limit.
func (w *Writer) SetWriteRate(perSecond float64) { w.bucket.rate = perSecond }

// AppendedBytes returns the bytes of all entries that were ever appended.
func (w *Writer) AppendedBytes() int64 { return w.total }
