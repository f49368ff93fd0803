package exchanger

// DecompressItems is decompressItems.
var DecompressItems = decompressItems
