fn main() {
    println!("Hello, world!");
}
